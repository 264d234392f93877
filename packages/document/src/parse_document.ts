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

/** Parses and checks a service document; throws `CheckError`. */
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
  what: string;
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
  const { path, name, known, what } = reference;
  const nearest = findNearestName(name, known);
  return {
    file: source.file,
    ...locateField(source.text, path),
    field: formatPath(path),
    message: `no ${what} is named "${name}"`,
    mend: nearest ? `did you mean "${nearest}"?` : `add the ${what}`,
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
      what: "data centre",
    });
  }
  document.classes.forEach((requestClass, index) => {
    const add = (
      path: (string | number)[],
      names: readonly string[],
      rest: { known: readonly string[]; what: string },
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
      what: "data centre",
    });
    add(["upstreams"], requestClass.upstreams, {
      known: upstreams,
      what: "upstream",
    });
    add(["match", "clients"], match.clients, {
      known: clients,
      what: "client",
    });
    add(["match", "models"], match.models, { known: served, what: "model" });
    add(["match", "services"], match.services, {
      known: served,
      what: "plain service",
    });
  });
  return references;
}
