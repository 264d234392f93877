import { parseChecked } from "@rosemarytiller/jsonc";
import { readFile } from "node:fs/promises";
import { type Settings, settingsSchema } from "./settings_schema.ts";

/**
 * Reads and checks a settings file. Rejects with a `CheckError` if it is
 * invalid, or with the file system's error if it cannot be read.
 */
export async function readSettings(file: string): Promise<Settings> {
  return parseSettings(await readFile(file, "utf8"), file);
}

/** Parses and checks the text of a settings file; throws a `CheckError`. */
export function parseSettings(text: string, file: string): Settings {
  return parseChecked(text, { file, schema: settingsSchema });
}
