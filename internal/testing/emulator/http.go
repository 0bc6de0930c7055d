package emulator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"maddermill/internal/leader/cloud"
	"maddermill/internal/state/kvstore"
	"maddermill/wire"
)

// StateHandler serves the state service's protocol from a link.
func StateHandler(l *Link) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", func(w http.ResponseWriter, r *http.Request) {
		it, err := l.Get(r.Context(), r.PathValue("key"))
		answer(w, it, err)
	})
	mux.HandleFunc("GET /store", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		most, _ := strconv.Atoi(q.Get("most"))
		p, err := l.List(r.Context(), q.Get("starts"), q.Get("from"), most)
		answer(w, p, err)
	})
	mux.HandleFunc("GET /changes", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		ev, err := l.Watch(r.Context(), q.Get("starts"), wire.Revision(from), time.Duration(wait)*time.Millisecond)
		answer(w, ev, err)
	})
	mux.HandleFunc("POST /multi", func(w http.ResponseWriter, r *http.Request) {
		var t wire.Txn
		if !take(w, r, &t) {
			return
		}
		rev, err := l.Commit(r.Context(), t)
		answer(w, wire.TxnResult{Revision: rev}, err)
	})
	mux.HandleFunc("POST /leases", func(w http.ResponseWriter, r *http.Request) {
		var q wire.LeaseRequest
		if !take(w, r, &q) {
			return
		}
		id, err := l.GrantLease(r.Context(), time.Duration(q.TTLMillis)*time.Millisecond)
		answer(w, wire.LeaseGrant{Lease: id}, err)
	})
	mux.HandleFunc("POST /leases/{id}/renew", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		err := l.RenewLease(r.Context(), wire.LeaseID(id))
		if errors.Is(err, kvstore.ErrLeaseNotFound) {
			err = kvstore.ErrNotFound
		}
		answer(w, struct{}{}, err)
	})
	return mux
}

// CloudHandler serves the cloud's protocol.
func CloudHandler(c *Cloud) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, r *http.Request) {
		f, err := c.MachineTypes(r.Context())
		answer(w, wire.MachineTypeList{Types: f}, err)
	})
	mux.HandleFunc("POST /machines", func(w http.ResponseWriter, r *http.Request) {
		var h wire.ScaleOutRequest
		if !take(w, r, &h) {
			return
		}
		names, err := c.ScaleOut(r.Context(), h)
		answer(w, wire.MachineIDList{Names: names}, err)
	})
	mux.HandleFunc("POST /machines/return", func(w http.ResponseWriter, r *http.Request) {
		var m wire.MachineIDList
		if !take(w, r, &m) {
			return
		}
		answer(w, struct{}{}, c.ScaleIn(r.Context(), m.Names))
	})
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, r *http.Request) {
		all, err := c.List(r.Context())
		q := r.URL.Query()
		most, _ := strconv.Atoi(q.Get("most"))
		p := wire.MachineList{Machines: []wire.ListedMachine{}}
		for _, m := range all {
			if string(m.ID) <= q.Get("from") {
				continue
			}
			if p.More = len(p.Machines) == most; p.More {
				break
			}
			p.Machines = append(p.Machines, m)
		}
		answer(w, p, err)
	})
	return mux
}

func take(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(into)
	if err != nil {
		answer(w, nil, kvstore.ErrInvalid)
	}
	return err == nil
}

func answer(w http.ResponseWriter, v any, err error) {
	status := 200
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		status, v = 409, wire.TxnResult{Failed: conflict.Failed, Revision: conflict.Revision}
	case errors.Is(err, kvstore.ErrNotFound):
		status, v = 404, wire.TxnResult{}
	case errors.Is(err, kvstore.ErrRevisionCompacted):
		status, v = 410, wire.ErrorBody{Error: "too old"}
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		status, v = 400, wire.ErrorBody{Error: "no such lease"}
	case errors.Is(err, cloud.ErrNoCapacity):
		status, v = 503, wire.ErrorBody{Error: "no capacity"}
	case errors.Is(err, kvstore.ErrInvalid):
		status, v = 400, wire.ErrorBody{Error: "malformed"}
	default:
		status, v = 503, wire.ErrorBody{Error: "trouble"}
	}
	b, err := json.Marshal(v)
	if err != nil {
		status = 500
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// Spec reads a job's description out of a durable record, as users would have
// uploaded it for the workers.
func Spec(c wire.Change) (*wire.JobSpec, bool) {
	if !strings.Contains(c.Put, "/j/") {
		return nil, false
	}
	var r struct {
		Spec *wire.JobSpec `json:"spec"`
	}
	return r.Spec, json.Unmarshal(c.Value, &r) == nil && r.Spec != nil
}
