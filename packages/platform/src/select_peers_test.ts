import type { PublishedVm } from "@rosemarytiller/link";
import assert from "node:assert/strict";
import { test } from "node:test";
import { selectPeers } from "./select_peers.ts";

function listVms(count: number, dataCentres: number): PublishedVm[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `vm-${index}`,
    dataCentre: `dc-${index % dataCentres}`,
    region: "",
    kind: "entry",
    state: "live",
    broker: `10.0.0.1:${index}`,
    entryAdmin: "",
  }));
}

function buildLinks(vms: readonly PublishedVm[]): Map<string, Set<string>> {
  const links = new Map(vms.map((vm) => [vm.name, new Set<string>()]));
  for (const { name, dataCentre } of vms) {
    for (const peer of selectPeers({ vm: name, dataCentre }, vms)) {
      assert.notEqual(peer.name, name);
      links.get(name)!.add(peer.name);
      links.get(peer.name)!.add(name);
    }
  }
  return links;
}

/** Hops to the farthest reachable VM; VMs reached, the first included. */
function measureReach(
  links: Map<string, Set<string>>,
  from: string,
  isUp: (vm: string) => boolean = () => true,
): { hops: number; reached: number } {
  const seen = new Set([from]);
  let frontier = [from];
  let hops = -1;
  while (frontier.length > 0) {
    hops++;
    const next: string[] = [];
    for (const vm of frontier) {
      for (const peer of links.get(vm)!) {
        if (seen.has(peer) || !isUp(peer)) continue;
        seen.add(peer);
        next.push(peer);
      }
    }
    frontier = next;
  }
  return { hops, reached: seen.size };
}

test("every broker opens at least one link itself if there are peers", () => {
  for (let count = 2; count <= 12; count++) {
    const vms = listVms(count, 3);
    for (const { name, dataCentre } of vms) {
      const peers = selectPeers({ vm: name, dataCentre }, vms);
      assert.ok(peers.length > 0, `${name} of ${count}`);
    }
  }
});

test("a fleet of any size is connected", () => {
  for (let count = 1; count <= 40; count++) {
    for (const dataCentres of [1, 3, 4]) {
      const vms = listVms(count, dataCentres);
      assert.equal(measureReach(buildLinks(vms), "vm-0").reached, count);
    }
  }
});

test("410 brokers have few links and hops and stay connected without one data centre", () => {
  const vms = listVms(410, 8);
  const links = buildLinks(vms);
  const degrees = [...links.values()].map((peers) => peers.size);
  const mean = degrees.reduce((sum, degree) => sum + degree, 0) / 410;
  assert.ok(mean < 30, `mean links ${mean}`);
  assert.ok(Math.max(...degrees) < 60, `most links ${Math.max(...degrees)}`);
  assert.ok(measureReach(links, "vm-0").hops <= 6);
  const dataCentreOf = new Map(vms.map((vm) => [vm.name, vm.dataCentre]));
  const isUp = (vm: string) => dataCentreOf.get(vm) !== "dc-3";
  const remaining = vms.filter((vm) => isUp(vm.name)).length;
  assert.equal(measureReach(links, "vm-0", isUp).reached, remaining);
});
