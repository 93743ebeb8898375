/** Where a change was learnt. */
export type ChangeSource = "store" | "peer";
