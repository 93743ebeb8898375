import type { StoreRecord } from "./storeRecord.ts";

/** A record without its text. */
export type RecordRevision = Pick<StoreRecord, "key" | "revision">;
