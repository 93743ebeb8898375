/** Gets the file with the state of a node's links to the endpoints, by the settings file of the node. */
export function getLinksFile(settingsFile: string): string {
    return `${settingsFile}.links.json`;
}
