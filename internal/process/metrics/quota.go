package metrics

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Quota is the state of one organisation's quota at the node.
type Quota struct {
	Organisation string
	Admitted     int64 // since the start
	Refused      int64
	Rate         float64 // limit of all nodes together, requests per second
	Shares       bool    // the node admits only what it is granted
}

// registerQuotas registers the series of the quotas. Organisations beyond maxOrganisations are added up as "other".
func registerQuotas(meter metric.Meter, read func() []Quota) error {
	admitted, err := meter.Int64ObservableCounter("wigeoncleat.quota.admitted", metric.WithDescription("Requests admitted within the quota, by organisation."))
	if err != nil {
		return fmt.Errorf("counter of admitted requests: %w", err)
	}
	refused, err := meter.Int64ObservableCounter("wigeoncleat.quota.refused", metric.WithDescription("Requests refused beyond the quota, by organisation."))
	if err != nil {
		return fmt.Errorf("counter of refused requests: %w", err)
	}
	limit, err := meter.Float64ObservableGauge("wigeoncleat.quota.limit", metric.WithUnit("{request}/s"), metric.WithDescription("Quota of an organisation at all nodes together."))
	if err != nil {
		return fmt.Errorf("gauge of the quota: %w", err)
	}
	shares, err := meter.Int64ObservableGauge("wigeoncleat.quota.shares", metric.WithDescription("Organisations that are near their quota, so that shares of it are in force; 1 for each."))
	if err != nil {
		return fmt.Errorf("gauge of the shares: %w", err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, q := range boundQuotas(read()) {
			name := metric.WithAttributes(attribute.String("organisation", q.Organisation))
			o.ObserveInt64(admitted, q.Admitted, name)
			o.ObserveInt64(refused, q.Refused, name)
			o.ObserveFloat64(limit, q.Rate, name)
			var inForce int64
			if q.Shares {
				inForce = 1
			}
			o.ObserveInt64(shares, inForce, name)
		}
		return nil
	}, admitted, refused, limit, shares)
	if err != nil {
		return fmt.Errorf("register quotas: %w", err)
	}
	return nil
}

// boundQuotas adds up the organisations beyond the bound. The list is in a fixed order.
func boundQuotas(list []Quota) []Quota {
	if len(list) < maxOrganisations {
		return list
	}
	other := Quota{Organisation: otherOrganisations}
	for _, q := range list[maxOrganisations-1:] {
		other.Admitted += q.Admitted
		other.Refused += q.Refused
		other.Rate += q.Rate
		other.Shares = other.Shares || q.Shares
	}
	return append(list[:maxOrganisations-1:maxOrganisations-1], other)
}
