import { parseDocument, type ServiceDocument } from "@rosemarytiller/document";
import type { PublishedVm } from "@rosemarytiller/link";
import { readSettings, type Settings } from "@rosemarytiller/settings";
import { LogPart, useLog } from "@rosemarytiller/shared";
import { createStandInPlatform } from "@rosemarytiller/standins";
import { unwatchFile, watchFile } from "node:fs";
import { readFile } from "node:fs/promises";
import { type RunningUpstream, startUpstream } from "./start_upstream.ts";

/** Options of `runStandIns`. */
export interface StandInOptions {
  /** Service document to publish, again whenever the file changes. */
  documentFile: string;
  /** Settings files of the entry VMs, which make up the VM list. */
  settingsFiles: readonly string[];
}

/** A running stand-in platform and stand-ins for the upstreams. */
export interface RunningStandIns {
  close(): Promise<void>;
}

/** How often the document file is checked for changes, in milliseconds. */
const FILE_POLL_INTERVAL_MS = 500;

/**
 * Starts a stand-in platform on the ports of the platform addresses in the
 * first settings file, and a stand-in upstream on the port of each upstream
 * address in the document. All listen on the loopback interface; the hosts of
 * the addresses are ignored. Rejects if one of them cannot start; the others
 * are closed then.
 */
export async function runStandIns(
  options: StandInOptions,
): Promise<RunningStandIns> {
  const { documentFile, settingsFiles } = options;
  const text = await readFile(documentFile, "utf8");
  const document = parseDocument(text, documentFile);
  const settings: Settings[] = [];
  for (const file of settingsFiles) settings.push(await readSettings(file));
  const ports = settings[0].platform.map((url) => Number(new URL(url).port));
  const platform = await createStandInPlatform({
    replicas: ports.length,
    ports,
  });
  const upstreams: RunningUpstream[] = [];

  async function closeAll(): Promise<void> {
    await platform.close();
    for (const upstream of upstreams) await upstream.close();
  }

  try {
    for (
      const [name, { kind, address }] of Object.entries(document.upstreams)
    ) {
      const port = Number(new URL(address).port);
      upstreams.push(await startUpstream(kind, { name, port }));
    }
  } catch (error) {
    await closeAll();
    throw error;
  }
  platform.setVms([
    ...settings.map(toPublishedVm),
    ...listUpstreamVms(document),
  ]);
  const key = `services/${document.service}`;
  let published = text;
  platform.publish(key, text);
  watchFile(
    documentFile,
    { interval: FILE_POLL_INTERVAL_MS },
    () => void publishChanges(),
  );

  /**
   * Publishes the current content of the file without validation; the processes
   * validate it themselves. Skips an empty or unreadable file.
   */
  async function publishChanges(): Promise<void> {
    const changed = await readFile(documentFile, "utf8").catch(() => "");
    if (changed === "" || changed === published) return;
    published = changed;
    const revision = platform.publish(key, changed);
    useLog(LogPart.StandIn).info(`Published document revision ${revision}.`);
  }

  return {
    async close() {
      unwatchFile(documentFile);
      await closeAll();
    },
  };
}

function toPublishedVm(settings: Settings): PublishedVm {
  const { vm, dataCentre, region, broker, entryAdmin } = settings;
  return {
    name: vm,
    dataCentre,
    region,
    kind: "entry",
    state: "live",
    broker: `${broker.host}:${broker.port}`,
    entryAdmin: `${entryAdmin.host}:${entryAdmin.port}`,
  };
}

function listUpstreamVms(document: ServiceDocument): PublishedVm[] {
  return Object.values(document.upstreams).map(({ vm, dataCentre }) => ({
    name: vm,
    dataCentre,
    region: document.dataCentres[dataCentre].region,
    kind: "upstream",
    state: "live",
    broker: "",
    entryAdmin: "",
  }));
}
