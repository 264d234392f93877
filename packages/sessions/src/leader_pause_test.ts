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

/** Longer than a leader waits for an entry before it releases its backing. */
const RELEASE_DELAY_MS = 3000;

// The entry kept its link and went on taking calls, but its share of the limit
// stayed unused as long as calls arrived.
testFaults(
  "an entry resumed after its leader released it backs the leader again",
  {
    vms: 3,
  },
  async (run) => {
    const { fleet, waitForAnswers } = run;
    const leader = await fleet.waitForLeader();
    const [vm] = fleet.vms.filter((one) => one !== leader);
    vm.entry.kill("SIGSTOP");
    await new Promise((resolve) => setTimeout(resolve, RELEASE_DELAY_MS));
    await waitForAnswers(50);
    vm.entry.kill("SIGCONT");
    await waitUntil(
      async () => (await fleet.listBackers(leader)).includes(vm.name),
      "the resumed entry backs the leader again",
      { timeoutMs: 10_000 },
    );
    await waitForAnswers(50);
  },
);
