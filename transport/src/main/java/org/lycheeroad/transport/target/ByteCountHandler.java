package org.lycheeroad.transport.target;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Reports the bytes sent and received on a connection; placed before the HTTP codec. */
final class ByteCountHandler extends ChannelDuplexHandler {
    /** Receives counts on the event loop. */
    interface Listener {
        void onBytesTransferred(int sentBytes, int receivedBytes);
    }

    private final Listener mListener;

    ByteCountHandler(Listener listener) {
        mListener = listener;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf buffer) {
            mListener.onBytesTransferred(buffer.readableBytes(), 0);
        }
        context.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf buffer) {
            mListener.onBytesTransferred(0, buffer.readableBytes());
        }
        context.fireChannelRead(message);
    }
}
