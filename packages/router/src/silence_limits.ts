/** Interval at which calls are checked for silence, in milliseconds. */
export const SILENCE_CHECK_MS = 100;
/** Shortest idle timeout of a call, in milliseconds. */
export const MIN_IDLE_TIMEOUT_MS = 600;
/** Idle timeout, as a multiple of the longest pause or the latency target. */
export const IDLE_TIMEOUT_FACTOR = 3;
/**
 * Shortest silence of a started stream before it continues elsewhere, in ms.
 * Healthy upstreams pause for about a second, and a backup copy serves once.
 */
export const MIN_STREAM_SILENCE_MS = 1200;
/**
 * Idle timeouts without data at this VM after which an upstream counts as
 * silent even if other VMs receive data from it.
 */
export const LOCAL_SILENCE_FACTOR = 2.5;
/**
 * Time for which other upstreams are preferred to a silent one, in
 * milliseconds; the time starts again with each silent call that is found.
 */
export const SILENCE_MEMORY_MS = 1500;
/**
 * Time without data from an upstream here, and without a first event or
 * complete response reported by another VM, after which a peer's report of its
 * silence is accepted, in milliseconds.
 */
export const MIN_CONFIRMED_SILENCE_MS = 250;
/**
 * Shortest silence after which an upstream gets no calls for a while, in
 * milliseconds. Healthy upstreams pause for up to about two seconds.
 */
export const MIN_OUTAGE_SILENCE_MS = 2500;
