import { parseDocument, type ServiceDocument } from "@rosemarytiller/document";
import { hashKey } from "@rosemarytiller/sessions";
import { startUpstream } from "./start_upstream.ts";

/** A document whose upstreams are stand-ins that run in this process. */
export interface PreparedDocument {
  document: ServiceDocument;
  /** Data centre of each upstream VM, by VM name. */
  upstreamVms: Record<string, string>;
  /** API key of each client account, in plain text. */
  keys: Record<string, string>;
  /** Stops the stand-ins. */
  close(): Promise<void>;
}

/**
 * Starts a stand-in for each upstream of a document and writes its address into
 * the document. Replaces the API keys of each client account with a new one,
 * listed in `keys`.
 */
export async function prepareDocument(
  text: string,
  file: string,
): Promise<PreparedDocument> {
  const document = parseDocument(text, file);
  const upstreamVms: Record<string, string> = {};
  const standIns: { close(): Promise<void> }[] = [];
  for (const [name, upstream] of Object.entries(document.upstreams)) {
    const standIn = await startUpstream(upstream.kind, { name, port: 0 });
    standIns.push(standIn);
    upstream.address = standIn.url;
    upstreamVms[upstream.vm] = upstream.dataCentre;
  }
  const keys: Record<string, string> = {};
  for (const [name, client] of Object.entries(document.clients)) {
    keys[name] = `demo-key-of-${name}`;
    client.keys = [hashKey(keys[name])];
  }
  return {
    document,
    upstreamVms,
    keys,
    async close() {
      for (const standIn of standIns) await standIn.close();
    },
  };
}
