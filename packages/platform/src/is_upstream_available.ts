import { isUpstreamInService } from "@rosemarytiller/document";
import { VmState } from "@rosemarytiller/shared";
import type { FleetView } from "./create_fleet_view.ts";

/**
 * Whether new calls may start on an upstream: the document has the upstream,
 * its VM and its data centre in service, and the VM list shows its VM as live.
 * A list without upstream VMs is ignored.
 */
export function isUpstreamAvailable(
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
  // A list without upstream VMs does not cover upstreams: all count as live.
  return !view.hasUpstreamVms();
}
