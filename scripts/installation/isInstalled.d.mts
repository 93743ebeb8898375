interface PackageEntry {
    integrity?: string;
    optional?: boolean;
}

export declare function isInstalled(
    locked: Readonly<Record<string, PackageEntry>>,
    installed: Readonly<Record<string, PackageEntry>>,
    nodePackage: string,
): boolean;
