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
 * Parses a service document, validates it against the schema and then checks
 * references and consistency between fields. Throws a `CheckError` that lists
 * the problems.
 */
export function parseDocument(text: string, file: string): ServiceDocument {
  const document = parseChecked(text, { file, schema: documentSchema });
  const problems = findReferenceProblems(document, { text, file });
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
  candidates: readonly string[];
  /** Kind of object that the name refers to, as error messages call it. */
  kind: string;
}

function findReferenceProblems(
  document: ServiceDocument,
  source: Source,
): Problem[] {
  const problems: Problem[] = [];
  for (const reference of listReferences(document)) {
    if (reference.candidates.includes(reference.name)) continue;
    problems.push(createReferenceProblem(reference, source));
  }
  return problems;
}

function createReferenceProblem(reference: Reference, source: Source): Problem {
  const { path, name, candidates, kind } = reference;
  const nearest = findNearestName(name, candidates);
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
      candidates: dataCentres,
      kind: "data centre",
    });
  }
  document.classes.forEach((requestClass, index) => {
    const add = (
      path: (string | number)[],
      names: readonly string[],
      target: { candidates: readonly string[]; kind: string },
    ) =>
      names.forEach((name, nameIndex) =>
        references.push({
          path: ["classes", index, ...path, nameIndex],
          name,
          ...target,
        })
      );
    const served = Object.values(document.upstreams)
      .flatMap((upstream) => upstream.serves);
    const { match } = requestClass;
    add(["dataCentres"], requestClass.dataCentres, {
      candidates: dataCentres,
      kind: "data centre",
    });
    add(["upstreams"], requestClass.upstreams, {
      candidates: upstreams,
      kind: "upstream",
    });
    add(["match", "clients"], match.clients, {
      candidates: clients,
      kind: "client",
    });
    add(["match", "models"], match.models, {
      candidates: served,
      kind: "model",
    });
    add(["match", "services"], match.services, {
      candidates: served,
      kind: "plain service",
    });
  });
  return references;
}
