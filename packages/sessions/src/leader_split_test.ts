import { waitUntil } from "./start_fleet.ts";
import { testFaults } from "./test_faults.ts";

for (const action of ["cut", "freeze"] as const) {
  const name =
    `a partition (${action} links) fails no call and keeps the limit`;
  testFaults(
    name,
    { vms: 4, relayed: true },
    async ({ fleet, waitForAnswers }) => {
      const names = fleet.vms.map((vm) => vm.name);
      const leader = await fleet.waitForLeader();
      const others = names.filter((other) => other !== leader.name);
      const left = [leader.name, others[0]];
      const right = others.slice(1);
      fleet.setRelays(left, right, action);
      const rightVms = fleet.vms.filter((vm) => right.includes(vm.name));
      await waitUntil(async () => {
        for (const vm of rightVms) {
          if (
            (await fleet.listBackers(vm)).length === right.length
          ) return true;
        }
        return false;
      }, "the right half has a leader");
      await waitForAnswers(100);
      fleet.setRelays(left, right, "heal");
      await waitUntil(
        async () =>
          (await fleet.listBackers(await fleet.waitForLeader())).length === 4,
        "one leader has all backers again",
      );
      await waitForAnswers(100);
    },
  );
}
