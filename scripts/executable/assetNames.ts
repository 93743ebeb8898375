/** Names of the assets in the single executable. */
export const assetNames = {
    /** The bundle of foxlead. */
    bundle: "bundle",
    /** V8 code cache of the bundle. */
    codeCache: "codeCache",
    /** The bundle of the command `platform` alone, which a node loads in a fraction of the time. */
    platformBundle: "platformBundle",
    /** V8 code cache of the bundle of the command `platform`. */
    platformCodeCache: "platformCodeCache",
} as const;
