package fairshare

// Flow identifies the requests of one organisation and length to one service.
type Flow struct {
	Service      string
	Organisation Organisation
	Length       Length
}
