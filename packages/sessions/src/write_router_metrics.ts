import { readFile, writeFile } from "node:fs/promises";
import {
  formatRouterMetrics,
  ROUTER_METRICS_HEADING,
} from "./format_router_metrics.ts";

const PAGE = new URL("../../../docs/METRICS.md", import.meta.url);

const page = await readFile(PAGE, "utf8");
const [handwritten = ""] = page.split(ROUTER_METRICS_HEADING);
await writeFile(PAGE, `${handwritten}${await formatRouterMetrics()}`);
