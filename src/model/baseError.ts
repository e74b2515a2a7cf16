/** The root of the program's own errors. */
import ModernError from "modern-errors";

/**
 * Every error that the program raises itself derives from this class and carries `step` (as refusals do) and `peer`. A cause
 * adds its own message to the text.
 */
export const BaseError = ModernError.subclass("BaseError", { props: { step: "", peer: "" } });
