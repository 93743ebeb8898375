/** Files inside the single executable. */
export const assetNames = {
    /** The bundle of foxlead. */
    bundle: "bundle",
    /** Functions of the bundle in compiled form. */
    codeCache: "codeCache",
} as const;
