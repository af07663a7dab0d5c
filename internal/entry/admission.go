package entry

import (
	"sync"

	"github.com/mastwinch/mastwinch/internal/configuration"
	"github.com/mastwinch/mastwinch/internal/request"
)

// admission is the admission control of an entry: it limits the running
// requests, in total and for each organisation. It is safe for concurrent use.
type admission struct {
	settings AdmissionSettings

	mu             sync.Mutex
	running        int
	bodyBytes      int64
	byOrganisation map[string]uint32
}

func newAdmission(settings AdmissionSettings) *admission {
	return &admission{settings: settings, byOrganisation: make(map[string]uint32)}
}

// admit admits a request, or returns the reason why it is refused. The caller
// must call the returned function when the request has ended; later calls of it
// have no effect.
func (admission *admission) admit(organisation configuration.Organisation, bodyBytes int64) (func(), request.Reason) {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	switch {
	case admission.byOrganisation[organisation.Name] >= organisation.MaxConcurrent:
		return nil, request.ReasonOrganisationLimit
	case admission.running >= admission.settings.MaxConcurrent,
		admission.bodyBytes+bodyBytes > admission.settings.MaxBodyBytes:
		return nil, request.ReasonOverload
	}
	admission.running++
	admission.bodyBytes += bodyBytes
	admission.byOrganisation[organisation.Name]++
	return sync.OnceFunc(func() { admission.release(organisation.Name, bodyBytes) }), request.ReasonNone
}

func (admission *admission) release(organisation string, bodyBytes int64) {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	admission.running--
	admission.bodyBytes -= bodyBytes
	admission.byOrganisation[organisation]--
	if admission.byOrganisation[organisation] == 0 {
		delete(admission.byOrganisation, organisation)
	}
}
