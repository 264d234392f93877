import {
  CheckError,
  findNearestName,
  formatPath,
  locateField,
  parseChecked,
  type Problem,
  sortProblems,
} from "@rosemarytiller/jsonc";
import { checkDocument } from "./check_document.ts";
import { documentSchema, type ServiceDocument } from "./document_schema.ts";

/**
 * Parses a service document and checks its schema, its references and the
 * consistency between its fields. Throws a `CheckError` that lists the problems.
 */
export function parseDocument(text: string, file: string): ServiceDocument {
  const document = parseChecked(text, { file, schema: documentSchema });
  const problems = referenceProblems(document, { text, file });
  for (const { path, message, mend } of checkDocument(document)) {
    const place = locateField(text, path);
    problems.push({ file, ...place, field: formatPath(path), message, mend });
  }
  if (problems.length > 0) throw new CheckError(sortProblems(problems));
  return document;
}

interface Source {
  text: string;
  file: string;
}

interface Reference {
  path: (string | number)[];
  name: string;
  known: readonly string[];
  /** Kind of object that the name refers to, as error messages call it. */
  kind: string;
}

function referenceProblems(
  document: ServiceDocument,
  source: Source,
): Problem[] {
  const problems: Problem[] = [];
  for (const reference of listReferences(document)) {
    if (reference.known.includes(reference.name)) continue;
    problems.push(unknownReference(reference, source));
  }
  return problems;
}

function unknownReference(reference: Reference, source: Source): Problem {
  const { path, name, known, kind } = reference;
  const nearest = findNearestName(name, known);
  return {
    file: source.file,
    ...locateField(source.text, path),
    field: formatPath(path),
    message: `no ${kind} is named "${name}"`,
    mend: nearest ? `did you mean "${nearest}"?` : `add the ${kind}`,
  };
}

function listReferences(document: ServiceDocument): Reference[] {
  const dataCentres = Object.keys(document.dataCentres);
  const clients = Object.keys(document.clients);
  const upstreams = Object.keys(document.upstreams);
  const references: Reference[] = [];
  for (const [name, upstream] of Object.entries(document.upstreams)) {
    references.push({
      path: ["upstreams", name, "dataCentre"],
      name: upstream.dataCentre,
      known: dataCentres,
      kind: "data centre",
    });
  }
  document.classes.forEach((requestClass, index) => {
    const add = (
      path: (string | number)[],
      names: readonly string[],
      rest: { known: readonly string[]; kind: string },
    ) =>
      names.forEach((name, place) =>
        references.push({
          path: ["classes", index, ...path, place],
          name,
          ...rest,
        })
      );
    const served = Object.values(document.upstreams)
      .flatMap((upstream) => upstream.serves);
    const { match } = requestClass;
    add(["dataCentres"], requestClass.dataCentres, {
      known: dataCentres,
      kind: "data centre",
    });
    add(["upstreams"], requestClass.upstreams, {
      known: upstreams,
      kind: "upstream",
    });
    add(["match", "clients"], match.clients, {
      known: clients,
      kind: "client",
    });
    add(["match", "models"], match.models, { known: served, kind: "model" });
    add(["match", "services"], match.services, {
      known: served,
      kind: "plain service",
    });
  });
  return references;
}
