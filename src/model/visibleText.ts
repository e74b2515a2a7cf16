/** Text of callers, peers and operators on terminals and in logs. */

// Terminals execute control characters, and some readers of lines end a line at the separators.

const invisibleCharacters = /[\u0000-\u001f\u007f-\u009f\u2028\u2029]/g;

/** Replaces control characters and line separators by their escapes in JSON. */
export function escapeInvisible(text: string): string {
    return text.replace(
        invisibleCharacters,
        character => `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`,
    );
}
