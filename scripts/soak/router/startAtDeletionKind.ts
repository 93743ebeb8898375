/** The fault in which a node starts again while the store record of an endpoint is deleted. */
export const startAtDeletionKind = "nodeStartAtDeletion";
