package feed

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/mastwinch/mastwinch/internal/epoch"
	"github.com/mastwinch/mastwinch/internal/follower"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// maxPageBytes bounds the size of a page. A typical configuration is about 100 KB.
const maxPageBytes = 32 << 20

func encode(page follower.Page) *wire.FeedPage {
	encoded := &wire.FeedPage{
		Next: page.Next, Whole: page.Whole, AgeUs: page.Age.Microseconds(), Epoch: int64(page.Epoch), Unsettled: page.Unsettled,
	}
	for _, record := range page.Records {
		encoded.Records = append(encoded.Records, &wire.FeedRecord{Key: record.Key, Value: record.Value})
	}
	return encoded
}

func decode(encoded *wire.FeedPage) follower.Page {
	page := follower.Page{
		Next: encoded.GetNext(), Whole: encoded.GetWhole(), Age: time.Duration(encoded.GetAgeUs()) * time.Microsecond,
		Epoch: epoch.Number(encoded.GetEpoch()), Unsettled: encoded.GetUnsettled(),
	}
	for _, record := range encoded.GetRecords() {
		page.Records = append(page.Records, follower.Record{Key: record.GetKey(), Value: record.GetValue()})
	}
	return page
}

// errNoContent is returned when a peer answers with status 503 because it has no current content, for example
// since its source is not responding.
var errNoContent = errors.New("feed: peer has no current content")

// fetch requests one page from a peer. It fails if the page is of an earlier epoch than the current one.
func (log *Log) fetch(request *http.Request) (follower.Page, error) {
	response, err := log.client.Do(request)
	if err != nil {
		return follower.Page{}, errors.Wrap(err, "feed")
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	data, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes+1))
	if err != nil {
		return follower.Page{}, errors.Wrap(err, "feed")
	}
	if len(data) > maxPageBytes {
		return follower.Page{}, errors.Newf("feed: page exceeds %d bytes", maxPageBytes)
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		return follower.Page{}, errNoContent
	}
	if response.StatusCode != http.StatusOK {
		return follower.Page{}, errors.Newf("feed: peer returned status %d", response.StatusCode)
	}
	encoded := &wire.FeedPage{}
	if err := proto.Unmarshal(data, encoded); err != nil {
		return follower.Page{}, errors.Wrap(err, "feed")
	}
	page := decode(encoded)
	if err := log.epochs.Observe(page.Epoch); err != nil {
		return follower.Page{}, errors.Wrap(err, "feed")
	}
	if page.Unsettled {
		log.epochs.Unsettle()
	}
	return page, nil
}
