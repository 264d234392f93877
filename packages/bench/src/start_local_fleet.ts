import { type Broker, createBroker } from "@rosemarytiller/broker";
import {
  createEntry,
  type Entry,
  type EntryOptions,
} from "@rosemarytiller/entry";
import { createHttpPlatform } from "@rosemarytiller/platform";
import { parseSettings } from "@rosemarytiller/settings";
import { createSystemClock } from "@rosemarytiller/shared";
import {
  createStandInPlatform,
  leasePort,
  type StandInPlatform,
} from "@rosemarytiller/standins";

/** Entries, brokers and a stand-in platform, all inside this process. */
export interface LocalFleet {
  platform: StandInPlatform;
  /** Base URL of each entry. */
  urls: string[];
  stop(): Promise<void>;
}

/**
 * Starts a VM (an entry and a broker) for each item of `dataCentres`, which may
 * repeat, and resolves once all entries are ready.
 */
export async function startLocalFleet(options: {
  dataCentres: readonly string[];
  document: string;
  /** Data centres of the upstream VMs, by VM name. */
  upstreamVms: Record<string, string>;
  createPermits?: EntryOptions["createPermits"];
}): Promise<LocalFleet> {
  const { dataCentres, document, upstreamVms, createPermits } = options;
  const platform = await createStandInPlatform();
  const clock = createSystemClock();
  const brokers: Broker[] = [];
  const entries: Entry[] = [];
  const vms = [];
  platform.publish("services/bench", document);
  for (const [index, dataCentre] of dataCentres.entries()) {
    const vm = `vm-${index + 1}`;
    const settings = parseSettings(
      JSON.stringify({
        vm,
        dataCentre,
        platform: [platform.url],
        linkKey: "a link key for measurements",
        balancerLagMs: 0,
        entry: { port: 0 },
        entryAdmin: { port: 0 },
        broker: { port: await leasePort() },
      }),
      vm,
    );
    const broker = await createBroker({
      settings,
      clock,
      platform: createHttpPlatform(settings.platform),
    });
    const entry = await createEntry({ settings, clock, createPermits });
    brokers.push(broker);
    entries.push(entry);
    vms.push({
      name: vm,
      dataCentre,
      region: "",
      kind: "entry" as const,
      state: "live" as const,
      broker: broker.address,
      entryAdmin: entry.adminAddress,
    });
  }
  for (const [name, dataCentre] of Object.entries(upstreamVms)) {
    vms.push({
      name,
      dataCentre,
      region: "",
      kind: "upstream" as const,
      state: "live" as const,
      broker: "",
      entryAdmin: "",
    });
  }
  platform.setVms(vms);
  await Promise.all(entries.map((entry) => entry.ready));
  return {
    platform,
    urls: entries.map((entry) => `http://${entry.address}`),
    async stop() {
      await Promise.all(entries.map((entry) => entry.stop()));
      await Promise.all(brokers.map((broker) => broker.stop()));
      await platform.close();
    },
  };
}
