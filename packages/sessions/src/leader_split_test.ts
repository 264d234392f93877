import { waitUntil } from "./start_fleet.ts";
import { testFaults } from "./test_faults.ts";

for (const action of ["cut", "freeze"] as const) {
  const name = `halves that ${action} each other off do no harm`;
  testFaults(name, { vms: 4, relayed: true }, async ({ fleet, more }) => {
    const names = fleet.vms.map((vm) => vm.name);
    const leader = await fleet.leader();
    const others = names.filter((other) => other !== leader.name);
    const left = [leader.name, others[0]];
    const right = others.slice(1);
    fleet.betweenGroups(left, right, action);
    const seconds = fleet.vms.filter((vm) => right.includes(vm.name));
    await waitUntil(async () => {
      for (const vm of seconds) {
        if ((await fleet.backers(vm)).length === right.length) return true;
      }
      return false;
    }, "the other half has a leader");
    await more(100);
    fleet.betweenGroups(left, right, "heal");
    await waitUntil(
      async () => (await fleet.backers(await fleet.leader())).length === 4,
      "one leader has all backers",
    );
    await more(100);
  });
}
