import { waitUntil } from "./start_fleet.ts";
import { testFaults } from "./test_faults.ts";

testFaults("a leader that wakes late does no harm", { vms: 3 }, async (run) => {
  const { fleet, more } = run;
  const leader = await fleet.leader();
  leader.broker.kill("SIGSTOP");
  await waitUntil(
    async () => (await fleet.leader()).name !== leader.name,
    "another leads",
  );
  await more(50);
  leader.broker.kill("SIGCONT");
  await more(200);
});

testFaults("an entry that wakes late does no harm", { vms: 3 }, async (run) => {
  const { fleet, more } = run;
  const leader = await fleet.leader();
  const [vm] = fleet.vms.filter((one) => one !== leader);
  vm.entry.kill("SIGSTOP");
  await waitUntil(
    async () => !(await fleet.backers(leader)).includes(vm.name),
    "its lease has run out",
  );
  await more(100);
  vm.entry.kill("SIGCONT");
  await more(200);
});
