/** Version of the program; the same as in package.json. */
export const version = "0.1.0";
