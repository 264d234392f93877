import { readFile } from "node:fs/promises";
import { UsageError } from "./command.ts";

/** Reads a file given on the command line; throws `UsageError` on failure. */
export async function readText(file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch (error) {
    throw new UsageError(`Cannot read ${file}: ${(error as Error).message}.`);
  }
}
