/** Source of a change. */
export type ChangeSource = "store" | "peer";
