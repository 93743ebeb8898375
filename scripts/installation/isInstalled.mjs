/**
 * Gets if the packages that npm has installed match the lock file. Packages that are optional in the lock file may be missing,
 * except the one with Node.js for this machine: an installation for another kind of machine lacks it.
 * @param {Record<string, { integrity?: string; optional?: boolean }>} locked - Packages of the lock file, by folder.
 * @param {Record<string, { integrity?: string }>} installed - Installed packages, by folder.
 * @param {string} nodePackage - Folder of the package with Node.js for this machine.
 */
export function isInstalled(locked, installed, nodePackage) {
    for (const [path, entry] of Object.entries(locked)) {
        const isRequired = path !== "" && (!entry.optional || path === nodePackage);
        if (isRequired && installed[path]?.integrity !== entry.integrity) {
            return false;
        }
    }
    return nodePackage in locked;
}
