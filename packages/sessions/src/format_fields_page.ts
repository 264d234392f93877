import { documentSchema } from "@rosemarytiller/document";
import { describeFields, type FieldDescription } from "@rosemarytiller/jsonc";
import { routerSettingsSchema, settingsSchema } from "@rosemarytiller/settings";

const HEADINGS = ["Field", "Type", "Unit", "Default", "Range", "Meaning"];

/**
 * Formats docs/FIELDS.md, a table of all fields for each schema. `npm run
 * fields` writes it.
 */
export function formatFieldsPage(): string {
  return `# Fields

Written from the schemas by \`npm run fields\`. \`NAME\` stands for a name of your
choice and \`[]\` for each element of a list. All files are JSON with comments.

## Service document

${formatTable(describeFields(documentSchema))}

## Settings of a VM

${formatTable(describeFields(settingsSchema))}

## Settings of a router that decides by itself

${formatTable(describeFields(routerSettingsSchema))}
`;
}

function formatTable(fields: readonly FieldDescription[]): string {
  const rows = [HEADINGS, ...fields.map(formatCells)];
  const widths = HEADINGS.map((_, column) =>
    Math.max(...rows.map((row) => row[column].length))
  );
  const lines = rows.map((row) =>
    `| ${row.map((cell, column) => cell.padEnd(widths[column])).join(" | ")} |`
  );
  const rule = `| ${widths.map((width) => "-".repeat(width)).join(" | ")} |`;
  return [lines[0], rule, ...lines.slice(1)].join("\n");
}

function formatCells(field: FieldDescription): string[] {
  const { defaultValue, range } = field;
  return [
    `\`${field.field}\``,
    field.type,
    field.unit,
    formatCode(defaultValue),
    range.startsWith("^") ? formatCode(range) : range,
    field.description,
  ].map((cell) => cell.replaceAll("|", "\\|"));
}

function formatCode(text: string): string {
  return text && text !== "required" ? `\`${text}\`` : text;
}
