import { MetricName, type Metrics } from "@rosemarytiller/metrics";
import { EventKind } from "@rosemarytiller/shared";
import type { Timeline } from "@rosemarytiller/timeline";
import { FleetChangeKind, type FleetView } from "./create_fleet_view.ts";

const CHANGE_EVENTS: Partial<Record<FleetChangeKind, EventKind>> = {
  [FleetChangeKind.Document]: EventKind.RevisionAccepted,
  [FleetChangeKind.DocumentRefused]: EventKind.RevisionRefused,
  [FleetChangeKind.VmList]: EventKind.MembershipChanged,
};

/**
 * Records new and refused documents and new VM lists of a view in the
 * timeline, and the revision of each new document as a gauge.
 */
export function recordFleetChanges(
  view: FleetView,
  options: { timeline: Timeline; metrics: Metrics },
): void {
  const { timeline, metrics } = options;
  void view.changes.observe(({ kind, key, revision }) => {
    const event = CHANGE_EVENTS[kind];
    if (event) timeline.record(event, "", { key, revision });
    if (kind !== FleetChangeKind.Document) return;
    metrics.gauge(MetricName.DocumentRevision, revision, { key });
  });
}
