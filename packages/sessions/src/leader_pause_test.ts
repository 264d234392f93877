import { waitUntil } from "./start_fleet.ts";
import { testFaults } from "./test_faults.ts";

testFaults(
  "a leader resumed after lease expiry fails no call and keeps the limit",
  {
    vms: 3,
  },
  async (run) => {
    const { fleet, waitForAnswers } = run;
    const leader = await fleet.waitForLeader();
    leader.broker.kill("SIGSTOP");
    await waitUntil(
      async () => (await fleet.waitForLeader()).name !== leader.name,
      "another broker leads",
    );
    await waitForAnswers(50);
    leader.broker.kill("SIGCONT");
    await waitForAnswers(200);
  },
);

testFaults(
  "an entry resumed after lease expiry fails no call and keeps the limit",
  {
    vms: 3,
  },
  async (run) => {
    const { fleet, waitForAnswers } = run;
    const leader = await fleet.waitForLeader();
    const [vm] = fleet.vms.filter((one) => one !== leader);
    vm.entry.kill("SIGSTOP");
    await waitUntil(
      async () => !(await fleet.listBackers(leader)).includes(vm.name),
      "the lease of the paused entry has expired",
    );
    await waitForAnswers(100);
    vm.entry.kill("SIGCONT");
    await waitForAnswers(200);
  },
);
