package linengauge.scale.fronts;

import java.nio.file.Path;
import java.util.List;

/**
 * The parameters for measuring one real front.
 *
 * @param runCommand the shell command that starts the front
 * @param root the folder in which the front starts
 * @param connections numbers of connections to measure with
 * @param rates message rates to measure with, per second
 * @param runs number of runs at each size
 * @param seconds duration of each load
 * @param maxDescriptors the descriptor limit that the front is configured with
 */
public record FrontPlan(
    String runCommand,
    Path root,
    List<Integer> connections,
    List<Integer> rates,
    int runs,
    int seconds,
    int maxDescriptors) {}
