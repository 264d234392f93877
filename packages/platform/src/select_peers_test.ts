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

function linksOf(vms: readonly PublishedVm[]): Map<string, Set<string>> {
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

/** Steps from a VM to the farthest reachable one, and how many it reaches. */
function reach(
  links: Map<string, Set<string>>,
  from: string,
  isUp: (vm: string) => boolean = () => true,
): { steps: number; reached: number } {
  const seen = new Set([from]);
  let edge = [from];
  let steps = -1;
  while (edge.length > 0) {
    steps++;
    const next: string[] = [];
    for (const vm of edge) {
      for (const peer of links.get(vm)!) {
        if (seen.has(peer) || !isUp(peer)) continue;
        seen.add(peer);
        next.push(peer);
      }
    }
    edge = next;
  }
  return { steps, reached: seen.size };
}

test("a broker opens a link itself wherever there is a peer", () => {
  for (let count = 2; count <= 12; count++) {
    const vms = listVms(count, 3);
    for (const { name, dataCentre } of vms) {
      const peers = selectPeers({ vm: name, dataCentre }, vms);
      assert.ok(peers.length > 0, `${name} of ${count}`);
    }
  }
});

test("every size of fleet is connected", () => {
  for (let count = 1; count <= 40; count++) {
    for (const dataCentres of [1, 3, 4]) {
      const vms = listVms(count, dataCentres);
      assert.equal(reach(linksOf(vms), "vm-0").reached, count);
    }
  }
});

test("410 brokers have few links, few steps, and stay connected", () => {
  const vms = listVms(410, 8);
  const links = linksOf(vms);
  const degrees = [...links.values()].map((peers) => peers.size);
  const mean = degrees.reduce((sum, degree) => sum + degree, 0) / 410;
  assert.ok(mean < 30, `mean links ${mean}`);
  assert.ok(Math.max(...degrees) < 60, `most links ${Math.max(...degrees)}`);
  assert.ok(reach(links, "vm-0").steps <= 6);
  const centre = new Map(vms.map((vm) => [vm.name, vm.dataCentre]));
  const isUp = (vm: string) => centre.get(vm) !== "dc-3";
  const left = vms.filter((vm) => isUp(vm.name)).length;
  assert.equal(reach(links, "vm-0", isUp).reached, left);
});
