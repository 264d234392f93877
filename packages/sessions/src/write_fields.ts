import { writeFile } from "node:fs/promises";
import { formatFieldsPage } from "./format_fields_page.ts";

const PAGE = new URL("../../../docs/FIELDS.md", import.meta.url);

await writeFile(PAGE, formatFieldsPage());
