/** Text of callers, databases and servers, for output to a terminal. */

// C0 and C1 controls, line and paragraph separators, and the characters that change the direction of text.
const controlPattern = /[\x00-\x1f\x7f-\x9f\u2028\u2029\u202a-\u202e\u2066-\u2069]/g;

/** Escapes the characters by which a name could start a line of its own or change what the terminal shows. */
export function escapeControls(text: string): string {
    return text.replace(controlPattern, character => {
        const code = character.charCodeAt(0).toString(16);
        return character < "\u0100" ? `\\x${code.padStart(2, "0")}` : `\\u${code.padStart(4, "0")}`;
    });
}
