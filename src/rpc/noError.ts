/** The one place that adapts the project's `undefined` to the `null` that gRPC callbacks take for success. */

// eslint-disable-next-line no-restricted-syntax
export const noError = null;
