import { type $ZodType, toJSONSchema } from "zod/v4/core";

/** A field of a schema, as a row of the reference table for operators. */
export interface FieldDescription {
  /** Path, with `NAME` for a key of a record and `[]` for a list element. */
  field: string;
  /** Type in readable form, such as `list of string`. */
  type: string;
  /** Unit; empty if none. */
  unit: string;
  /** Default as JSON; else `required`, or empty for an optional field. */
  defaultValue: string;
  /** Limits, enum values, pattern or minimum size; empty if none. */
  range: string;
  /** Purpose of the field, from the schema's metadata. */
  description: string;
}

/** The subset of JSON Schema that the project's zod schemas convert to. */
interface SchemaNode {
  type?: string;
  description?: string;
  unit?: string;
  default?: unknown;
  minimum?: number;
  maximum?: number;
  minLength?: number;
  minItems?: number;
  pattern?: string;
  format?: string;
  enum?: string[];
  required?: string[];
  properties?: Record<string, SchemaNode>;
  additionalProperties?: SchemaNode | boolean;
  items?: SchemaNode;
}

/** Lists all fields of a schema, nested ones included, in schema order. */
export function describeFields(schema: $ZodType): FieldDescription[] {
  const rows: FieldDescription[] = [];
  addFields(rows, toSchemaNode(schema), "");
  return rows;
}

/** Lists the field names that a schema defines at a path; empty if none. */
export function listKnownNames(
  schema: $ZodType,
  path: readonly PropertyKey[],
): string[] {
  let node: SchemaNode | undefined = toSchemaNode(schema);
  for (const part of path) node = node && childOf(node, part);
  return Object.keys(node?.properties ?? {});
}

function toSchemaNode(schema: $ZodType): SchemaNode {
  return toJSONSchema(schema, {
    io: "input",
    reused: "inline",
    unrepresentable: "any",
  }) as SchemaNode;
}

function childOf(node: SchemaNode, part: PropertyKey): SchemaNode | undefined {
  if (typeof part === "number") return node.items;
  return node.properties?.[String(part)] ?? valuesOf(node);
}

/** Returns the schema of a record's values; undefined if not a record. */
function valuesOf(node: SchemaNode): SchemaNode | undefined {
  const values = node.additionalProperties;
  return typeof values === "object" ? values : undefined;
}

function addFields(
  rows: FieldDescription[],
  node: SchemaNode,
  path: string,
): void {
  for (const [name, child] of Object.entries(node.properties ?? {})) {
    const field = path ? `${path}.${name}` : name;
    const required = node.required?.includes(name) ?? false;
    rows.push(describeField(child, field, required));
    addFields(rows, child, field);
  }
  const values = valuesOf(node);
  if (values) addFields(rows, values, `${path}.NAME`);
  if (node.items) addFields(rows, node.items, `${path}[]`);
}

function describeField(
  node: SchemaNode,
  field: string,
  required: boolean,
): FieldDescription {
  return {
    field,
    type: typeOf(node),
    unit: node.unit ?? "",
    defaultValue: defaultOf(node, required),
    range: rangeOf(node),
    description: node.description ?? "",
  };
}

function defaultOf(node: SchemaNode, required: boolean): string {
  if (node.default !== undefined) return JSON.stringify(node.default);
  return required ? "required" : "";
}

function typeOf(node: SchemaNode): string {
  if (node.items) return `list of ${typeOf(node.items)}`;
  if (valuesOf(node)) return "object by name";
  if (node.format === "uri") return "URL";
  return node.type ?? "any";
}

function rangeOf(node: SchemaNode): string {
  if (node.enum) return node.enum.join(", ");
  if (node.minimum !== undefined || node.maximum !== undefined) {
    return `${node.minimum ?? ""} to ${node.maximum ?? ""}`;
  }
  if (node.pattern && node.format !== "uri") return node.pattern;
  if (node.minLength) return `at least ${node.minLength} characters`;
  if (node.minItems) return `at least ${node.minItems}`;
  return "";
}
