package org.lycheeroad.scheduler.intake;

/**
 * The parts that all API requests have in common.
 *
 * @param host the value of the host header
 * @param path the path of the request
 * @param apiKey the API key of the caller, or an empty string
 * @param timeoutMs how long the caller waits for the response
 */
public record ApiRequest(String host, String path, String apiKey, long timeoutMs) {}
