/** Generates docs/EVENTS.md from the catalogue of log events. */
import { writeFileSync } from "node:fs";
import { events } from "../src/process/logging/events.ts";
import { formatEventCatalogue } from "../src/process/logging/formatEventCatalogue.ts";

writeFileSync(new URL("../docs/EVENTS.md", import.meta.url), formatEventCatalogue(events));
