/** Names of the assets in the single executable. */
export const assetNames = {
    /** The bundle of foxlead. */
    bundle: "bundle",
    /** V8 code cache of the bundle. */
    codeCache: "codeCache",
} as const;
