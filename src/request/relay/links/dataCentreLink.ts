/** A link from one data centre to another. */
export interface DataCentreLink {
    from: string;
    to: string;
}
