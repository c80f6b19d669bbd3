package org.lycheeroad.cli;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Plots the latencies of each kind over time as SVG: a solid line for p50 and a dashed line for
 * p99.
 */
final class LatencyPlot {
    private static final int WIDTH = 800;
    private static final int HEIGHT = 400;
    private static final int MARGIN = 50;
    private static final int LEGEND_ROW_HEIGHT = 16;
    private static final int GRID_INTERVALS = 4;
    private static final List<String> COLORS =
            List.of("#1b6ca8", "#c0392b", "#27803a", "#8e44ad", "#b9770e", "#34495e");

    private LatencyPlot() {}

    static String toSvg(Map<String, LoadStats> results) {
        double maxMillis = 1;
        int seconds = 1;
        for (LoadStats result : results.values()) {
            List<Double> p99 = result.latencyPerSecondMs(99);
            seconds = Math.max(seconds, p99.size());
            maxMillis =
                    Math.max(
                            maxMillis,
                            p99.stream().mapToDouble(Double::doubleValue).max().orElse(0));
        }
        PlotArea area =
                new PlotArea(MARGIN + LEGEND_ROW_HEIGHT * results.size(), seconds, maxMillis);
        StringBuilder svg = new StringBuilder();
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\""
                                + " font-family=\"sans-serif\" font-size=\"12\">%n"
                                + "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                        WIDTH,
                        HEIGHT));
        appendText(
                svg, MARGIN, MARGIN / 2, "black", "latency from planned send time, ms, per second");
        appendGrid(svg, area);
        int row = 0;
        for (Map.Entry<String, LoadStats> result : results.entrySet()) {
            String color = COLORS.get(row % COLORS.size());
            appendPolyline(svg, result.getValue().latencyPerSecondMs(50), area, color, "none");
            appendPolyline(svg, result.getValue().latencyPerSecondMs(99), area, color, "4 3");
            String label = result.getKey() + " (p50 solid, p99 dashed)";
            appendText(svg, MARGIN, MARGIN / 2 + LEGEND_ROW_HEIGHT * (row + 1), color, label);
            row++;
        }
        return svg.append("</svg>\n").toString();
    }

    /** Maps times and latencies to coordinates of the plot. */
    private record PlotArea(int topY, int seconds, double maxMillis) {
        private static final int BOTTOM_Y = HEIGHT - MARGIN;

        double x(double second) {
            return MARGIN + (WIDTH - 2.0 * MARGIN) * second / seconds;
        }

        double y(double value) {
            return BOTTOM_Y - (BOTTOM_Y - topY) * value / maxMillis;
        }
    }

    private static void appendGrid(StringBuilder svg, PlotArea area) {
        for (int i = 0; i <= GRID_INTERVALS; i++) {
            double millis = area.maxMillis() * i / GRID_INTERVALS;
            double second = (double) area.seconds() * i / GRID_INTERVALS;
            appendGridLine(svg, area.x(0), area.y(millis), area.x(area.seconds()), area.y(millis));
            appendGridLine(
                    svg, area.x(second), area.y(0), area.x(second), area.y(area.maxMillis()));
            appendText(svg, 4, (int) area.y(millis) + 4, "black", format("%.0f", millis));
            appendText(
                    svg,
                    (int) area.x(second) - 8,
                    HEIGHT - MARGIN / 2,
                    "black",
                    format("%.1f s", second));
        }
    }

    private static void appendGridLine(
            StringBuilder svg, double x1, double y1, double x2, double y2) {
        svg.append(
                format(
                        "<line stroke=\"#d0d0d0\" x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\""
                                + " y2=\"%.1f\"/>%n",
                        x1, y1, x2, y2));
    }

    private static void appendPolyline(
            StringBuilder svg, List<Double> values, PlotArea area, String color, String dash) {
        svg.append(
                format(
                        "<polyline fill=\"none\" stroke=\"%s\" stroke-dasharray=\"%s\" points=\"",
                        color, dash));
        for (int i = 0; i < values.size(); i++) {
            svg.append(format("%.1f,%.1f ", area.x(i + 0.5), area.y(values.get(i))));
        }
        svg.append("\"/>\n");
    }

    private static void appendText(StringBuilder svg, int x, int y, String color, String text) {
        String escaped = text.replace("&", "&amp;").replace("<", "&lt;");
        svg.append(format("<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>%n", x, y, color, escaped));
    }

    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}
