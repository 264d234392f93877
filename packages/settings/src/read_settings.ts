import { parseChecked } from "@rosemarytiller/jsonc";
import { readFile } from "node:fs/promises";
import { type Settings, settingsSchema } from "./settings_schema.ts";

/** Reads and checks a settings file; throws `CheckError`. */
export async function readSettings(file: string): Promise<Settings> {
  return parseSettings(await readFile(file, "utf8"), file);
}

/** Checks the text of a settings file; throws `CheckError`. */
export function parseSettings(text: string, file: string): Settings {
  return parseChecked(text, { file, schema: settingsSchema });
}
