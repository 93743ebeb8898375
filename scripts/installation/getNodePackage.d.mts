export declare function getNodePackage(platform: string, architecture: string): string;
