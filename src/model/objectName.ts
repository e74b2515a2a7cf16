/** Names of workspaces, services, databases, instances and other objects of a cluster. */

const namePattern = /^[a-zA-Z0-9_.-]{1,64}$/;

/** Describes the names that `isObjectName` accepts, for error messages. */
export const objectNameDescription = `1 to 64 characters of a-z, A-Z, 0-9, "_", "." and "-"`;

/** A name holds none of the separators ("/", "@", "|", blanks) that join names into ids and keys. */
export function isObjectName(text: unknown): text is string {
    return typeof text === "string" && namePattern.test(text);
}
