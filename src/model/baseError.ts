/** Base class of the errors that the program defines. */
import ModernError from "modern-errors";

/**
 * Every error that the program throws itself derives from this class. Like a refusal, it carries `step`, where it
 * occurred, and `peer`, the other process involved. The message of its cause is appended to its own message.
 */
export const BaseError = ModernError.subclass("BaseError", { props: { step: "", peer: "" } });
