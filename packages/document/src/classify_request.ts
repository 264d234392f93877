import type { RequestClass, ServiceDocument } from "./document_schema.ts";

/** Properties of a request that determine its class. */
export interface RequestTraits {
  /** Name of the client account that the API key belongs to. */
  client: string;
  /** Requested model, if any. */
  model?: string;
  /** Requested plain service, if any. */
  service?: string;
  /** Headers by lower-case name. */
  headers: Record<string, string | string[] | undefined>;
}

/** Returns the first class whose conditions all match, or undefined. */
export function classifyRequest(
  document: ServiceDocument,
  traits: RequestTraits,
): RequestClass | undefined {
  for (const requestClass of document.classes) {
    if (!findMismatch(requestClass, traits)) return requestClass;
  }
  return undefined;
}

/** Conditions of a class that a request can fail to match. */
export enum Mismatch {
  Client = "client",
  /** The requested model or plain service. */
  Target = "target",
  Header = "header",
}

/** Returns the first condition of a class that does not match, if any. */
export function findMismatch(
  requestClass: RequestClass,
  traits: RequestTraits,
): Mismatch | undefined {
  const { clients, models, services, header } = requestClass.match;
  if (clients.length > 0 && !clients.includes(traits.client)) {
    return Mismatch.Client;
  }
  if (!matchesTarget(models, services, traits)) return Mismatch.Target;
  if (header && traits.headers[header.name] !== header.value) {
    return Mismatch.Header;
  }
  return undefined;
}

function matchesTarget(
  models: readonly string[],
  services: readonly string[],
  traits: RequestTraits,
): boolean {
  if (models.length === 0 && services.length === 0) return true;
  if (traits.model !== undefined) return models.includes(traits.model);
  if (traits.service !== undefined) return services.includes(traits.service);
  return false;
}
