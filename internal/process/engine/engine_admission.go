package engine

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/process/pause"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// admissionAdapter adapts an admission controller to Admission.
type admissionAdapter struct{ *admission.Controller }

// NewAdmission returns the Admission of a controller.
func NewAdmission(c *admission.Controller) Admission { return admissionAdapter{c} }

func (a admissionAdapter) Acquire(ctx context.Context, req *message.Request) (Permit, *message.Response) {
	permit, err := a.Controller.Acquire(ctx, admission.Work{Priority: req.Priority, Deadline: req.Deadline, Subrequest: req.Hop > 0})
	if err == nil {
		return permitAdapter{permit}, nil
	}
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		return nil, refusal.Response()
	}
	return nil, message.Refuse(message.ReasonInternal, message.Errorf(message.StepAdmit, "", "%v", err))
}

// permitAdapter adapts a permit of an admission controller to Permit.
type permitAdapter struct{ *admission.Permit }

func (p permitAdapter) Release(latency time.Duration, r *message.Response) {
	p.Permit.Release(admission.Result{
		Latency:   latency,
		Failed:    r.Outcome != message.Answered || r.Status >= http.StatusInternalServerError,
		Cancelled: r.Reason == message.ReasonCancelled || r.Reason == message.ReasonDeadline,
		Paused:    pause.Since(time.Now().Add(-latency)), // this process was paused, so that the latency includes the pause
	})
}
