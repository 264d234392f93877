import { isUpstreamInService } from "@rosemarytiller/document";
import { VmState } from "@rosemarytiller/shared";
import type { FleetView } from "./create_fleet_view.ts";

/**
 * Whether a new call may start on an upstream: its data centre, its VM and
 * itself are in service by the document, and its VM is live in the list.
 */
export function isUpstreamOpen(
  view: FleetView,
  service: string,
  upstream: string,
): boolean {
  const document = view.documentOf(service);
  if (!document || !isUpstreamInService(document, upstream)) return false;
  return isVmLive(view, document.upstreams[upstream].vm);
}

function isVmLive(view: FleetView, name: string): boolean {
  const vm = view.findVm(name);
  if (vm) return vm.state === VmState.Live;
  // A list without any upstream VM says nothing of upstreams.
  return !view.listsUpstreamVms();
}
