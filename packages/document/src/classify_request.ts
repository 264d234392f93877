import type { RequestClass, ServiceDocument } from "./document_schema.ts";

/** What a request shows for the choice of its class. */
export interface RequestTraits {
  /** Client account of the API key. */
  client: string;
  /** Model asked for, if any. */
  model?: string;
  /** Plain service asked for, if any. */
  service?: string;
  /** Headers in lower case. */
  headers: Record<string, string | string[] | undefined>;
}

/** Returns the first class whose conditions all hold. */
export function classifyRequest(
  document: ServiceDocument,
  traits: RequestTraits,
): RequestClass | undefined {
  for (const requestClass of document.classes) {
    if (!findMismatch(requestClass, traits)) return requestClass;
  }
  return undefined;
}

/** Conditions by which a class can leave a request to the next class. */
export enum Mismatch {
  Client = "client",
  Target = "target",
  Header = "header",
}

/** Returns the first condition of a class that does not hold, if any. */
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
