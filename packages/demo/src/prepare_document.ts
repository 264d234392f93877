import { parseDocument, type ServiceDocument } from "@rosemarytiller/document";
import { hashKey } from "@rosemarytiller/sessions";
import { startUpstream } from "./start_upstream.ts";

/** A document whose upstreams are stand-ins of this process. */
export interface PreparedDocument {
  document: ServiceDocument;
  /** Data centre of each VM of the upstreams. */
  upstreamVms: Record<string, string>;
  /** API key of each client account. */
  keys: Record<string, string>;
  /** Ends the stand-ins. */
  close(): Promise<void>;
}

/**
 * Starts a stand-in for each upstream of a document and puts its address in;
 * every client account gets an API key that the caller knows.
 */
export async function prepareDocument(
  text: string,
  file: string,
): Promise<PreparedDocument> {
  const document = parseDocument(text, file);
  const upstreamVms: Record<string, string> = {};
  const running: { close(): Promise<void> }[] = [];
  for (const [name, upstream] of Object.entries(document.upstreams)) {
    const standIn = await startUpstream(upstream.kind, { name, port: 0 });
    running.push(standIn);
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
      for (const standIn of running) await standIn.close();
    },
  };
}
