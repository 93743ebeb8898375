/** Attributes of a span. They must never contain API keys or request bodies. */
export type SpanAttributes = Readonly<Record<string, string | number | boolean>>;
